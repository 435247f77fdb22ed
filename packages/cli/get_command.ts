/**
 * Command that prints objects of the set in force.
 *
 * @module
 */

import {
  emptyObjectSet,
  formatObjectSet,
  KIND_WORDS,
  OBJECT_KINDS,
  type ObjectSet,
} from "@lagoonloom/objects";
import {
  newestResult,
  queryDaemons,
  reportNoResult,
} from "./_query_daemons.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Objects to print: all, those of a kind, or the one with a name. */
export type GetRequest = {
  kind?: string | undefined;
  name?: string | undefined;
};

/**
 * Prints objects of the object set in force as INI text. They come from the
 * daemon that has the newest version.
 *
 * @example
 * ```ts
 * const exitCode = await getCommand({ kind: "host", name: "h1" }, context);
 * ```
 */
export async function getCommand(
  request: GetRequest,
  context: RemoteContext,
): Promise<ExitCode> {
  const kind = OBJECT_KINDS.find((kind) =>
    kind === request.kind || KIND_WORDS[kind] === request.kind
  );
  if (request.kind !== undefined && kind === undefined) {
    const words = Object.values(KIND_WORDS).join(", ");
    context.printError(`Expected one of the kinds ${words}.`);
    return EXIT_CODE.usage;
  }
  const results = await queryDaemons(context.clients, (c) => c.currentSet());
  const newest = newestResult(results, ({ version }) => version);
  if (newest === undefined) return reportNoResult(results, context);
  const { version, set } = newest.value;
  const selected = kind === undefined
    ? set
    : selectObjects(set, kind, { name: request.name });
  if (selected === undefined) {
    const word = kind === undefined ? "object" : KIND_WORDS[kind];
    context.printError(`Version ${version} has no ${word} ${request.name}.`);
    return EXIT_CODE.refused;
  }
  context.print(
    context.isJson
      ? JSON.stringify({ version, set: selected })
      : `; version ${version}\n\n${formatObjectSet(selected).trimEnd()}`,
  );
  return EXIT_CODE.ok;
}

/**
 * Returns a set with the objects of a kind, or with the one of a name;
 * undefined if there is no such object.
 */
function selectObjects(
  set: ObjectSet,
  kind: keyof ObjectSet,
  { name }: { name: string | undefined },
): ObjectSet | undefined {
  const objects: Record<string, unknown> = set[kind];
  if (name === undefined) return { ...emptyObjectSet(), [kind]: objects };
  if (!Object.hasOwn(objects, name)) return undefined;
  return { ...emptyObjectSet(), [kind]: { [name]: objects[name] } };
}
