import {
  type CaseReport,
  listFaultCases,
  runFaultCase,
} from "../../daemon/requests/_fault_cases.ts";
import type { MeasureRow } from "../measure_row.ts";
import { DEPLOYMENTS } from "./deployment.ts";

/** Number of cases that run at the same time, each with its own entry hosts. */
const CONCURRENT_CASES = 4;

/**
 * Counts orders that ran twice (`doubled`) and orders that ran although they
 * were answered as not run (`falsely-not-run`), over all fault cases, on
 * sockets in real time.
 *
 * @example
 * ```ts
 * const rows = await measureFaults();
 * ```
 */
export async function measureFaults(): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = [];
  for (const { name, entryHosts, latencyMs } of DEPLOYMENTS) {
    const reports = await runCases({ entryHosts, latencyMs });
    const count = (getCount: (report: CaseReport) => number) =>
      reports.reduce((sum, report) => sum + getCount(report), 0);
    const values = {
      doubled: count((report) => report.doubled),
      "falsely-not-run": count((report) => report.falselyNotRun),
    };
    for (const [measure, value] of Object.entries(values)) {
      const row = { measure, deployment: name, unit: "orders" };
      rows.push({ ...row, policy: "chosen", value });
      rows.push({ ...row, policy: "bound", value: 0 });
    }
  }
  return rows;
}

async function runCases(
  options: { entryHosts: number; latencyMs: number },
): Promise<CaseReport[]> {
  const cases = Object.values(listFaultCases()).flat();
  const reports: CaseReport[] = [];
  const runNextCases = async () => {
    for (let next = cases.shift(); next !== undefined; next = cases.shift()) {
      reports.push(await runFaultCase(next, options));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CASES }, runNextCases));
  return reports;
}
