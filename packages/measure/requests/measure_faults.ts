import {
  type CaseReport,
  listFaultCases,
  runFaultCase,
} from "../../daemon/requests/_fault_cases.ts";
import type { MeasureRow } from "../measure_row.ts";
import { DEPLOYMENTS } from "./deployment.ts";

/** Cases that run at a time; each has its own entry hosts. */
const CONCURRENT_CASES = 4;

/**
 * Measures orders that ran twice (`doubled`) and answers "not-run" to orders
 * that ran (`falsely-not-run`) over all fault cases, on sockets in real time.
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
    const count = (pick: (report: CaseReport) => number) =>
      reports.reduce((sum, report) => sum + pick(report), 0);
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
  const work = async () => {
    for (let row = cases.shift(); row !== undefined; row = cases.shift()) {
      reports.push(await runFaultCase(row, options));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CASES }, work));
  return reports;
}
