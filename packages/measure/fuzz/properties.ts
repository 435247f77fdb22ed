import { ANSWER_PROPERTIES } from "./answer_properties.ts";
import type { FuzzProperty } from "./fuzz_property.ts";
import { HTTP_PROPERTIES } from "./http_properties.ts";
import { PEER_PROPERTIES } from "./peer_properties.ts";
import { RECORD_PROPERTIES } from "./record_properties.ts";
import { TEXT_PROPERTIES } from "./text_properties.ts";

/** All fuzz properties. */
export const PROPERTIES: readonly FuzzProperty[] = [
  ...TEXT_PROPERTIES,
  ...RECORD_PROPERTIES,
  ...HTTP_PROPERTIES,
  ...PEER_PROPERTIES,
  ...ANSWER_PROPERTIES,
];
