import { Name } from "@lagoonloom/objects";
import { parse } from "ini";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const Address = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
  "expected an IP address and a port",
);

const Addresses = z.string().default("").transform((text) =>
  text.split(/[\s,]+/).filter((address) => address !== "")
).pipe(z.array(Address));

const Key = z.string().min(16, "expected at least 16 characters").max(200);

const Milliseconds = z.coerce.number().int().min(1).max(86_400_000);

const Bytes = z.coerce.number().int().min(1_024).max(2 ** 32);

const Bounds = z.strictObject({
  /** Longest time between the first signal and the end of the process. */
  shutdown_ms: Milliseconds.default(30_000),
  /** Longest time that a publication waits for its outcome. */
  publish_ms: Milliseconds.default(3_000),
  /** Longest time of a call to the platform, without waiting for records. */
  platform_ms: Milliseconds.default(2_000),
  /** Longest run time of a request on an executor. */
  longest_request_ms: Milliseconds.default(10_000),
  /** Largest body of a caller's request. */
  body_bytes: Bytes.default(1_048_576),
  /** Longest time in which a caller's body has to arrive. */
  body_ms: Milliseconds.default(10_000),
  /** Memory for answers in transit. */
  transit_bytes: Bytes.default(33_554_432),
  /** Time for which claims are remembered. */
  claim_window_ms: Milliseconds.default(86_400_000),
});

/** Schema of the daemon's settings. */
export const DaemonSettings = z.strictObject({
  daemon: z.strictObject({
    name: Name,
    region: Name,
    data_centre: Name,
  }),
  callers: z.strictObject({ address: Address }),
  operators: z.strictObject({ address: Address }),
  peers: z.strictObject({
    address: Address,
    /** Key that every call between entry hosts carries. */
    key: Key,
    /** Peer addresses that are asked before the members are known. */
    seeds: Addresses,
  }),
  /** Separate listener for metrics; they are on the callers' one too. */
  metrics: z.strictObject({ address: Address }).optional(),
  platform: z.strictObject({
    log: Address,
    /** Address of the host list, if it is not the log's. */
    hosts: Address.optional(),
  }),
  /** Keys of operators by their names. */
  operator_keys: z.record(Name, Key),
  /** Keys of callers by the names of their teams. */
  caller_keys: z.record(Name, Key).default({}),
  bounds: Bounds.prefault({}),
  log: z.strictObject({
    level: z.enum(["DEBUG", "INFO", "WARN", "ERROR"]).default("INFO"),
    format: z.enum(["json", "pretty"]).optional(),
  }).prefault({}),
});

/** Settings of the daemon. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;

/**
 * Parses the settings of the daemon from INI text. Returns one sentence per
 * problem if they are not valid.
 *
 * @example
 * ```ts
 * const settings = parseDaemonSettings(readFileSync(path, "utf8"));
 * ```
 */
export function parseDaemonSettings(
  text: string,
): Either<string[], DaemonSettings> {
  const parsed = DaemonSettings.safeParse(parse(text));
  if (parsed.success) return Right(parsed.data);
  return Left(parsed.error.issues.map((issue) => {
    const place = issue.path.map(String);
    return `[${place[0] ?? ""}] ${place.slice(1).join(".")}: ${issue.message}.`;
  }));
}
