/** Parts of an address, as sockets take them. */
export type AddressParts = { host: string; port: number };

/**
 * Splits a checked address into its IP address, without brackets, and its port.
 *
 * @example
 * ```ts
 * splitAddress("[::1]:80"); // { host: "::1", port: 80 }
 * ```
 */
export function splitAddress(address: string): AddressParts {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
