/**
 * Splitting of addresses into host and port.
 *
 * @module
 */

/** Host and port, as the functions of `node:net` expect them. */
export type HostAndPort = { host: string; port: number };

/**
 * Splits a valid address into its IP address, without brackets, and its port.
 *
 * @example
 * ```ts
 * splitAddress("[::1]:80"); // { host: "::1", port: 80 }
 * ```
 */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
