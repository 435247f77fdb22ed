import { isIP } from "node:net";
import { z } from "zod";

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:.]+\]):([1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

/**
 * Schema of an IP address and port. IPv6 addresses are in brackets.
 *
 * @example
 * ```ts
 * Address.parse("127.0.0.1:21001");
 * ```
 */
export const Address = z.string().refine((text) => {
  const [, host = "", port] = ADDRESS.exec(text) ?? [];
  return isIP(host.replace(/^\[|\]$/g, "")) !== 0 && Number(port) <= MAX_PORT;
}, "expected an IP address and a port, such as 127.0.0.1:21001");

/** IP address and port, as one text. */
export type Address = z.infer<typeof Address>;
