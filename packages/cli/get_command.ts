import {
  emptyObjectSet,
  formatObjectSet,
  KIND_WORDS,
  OBJECT_KINDS,
  type ObjectSet,
} from "@lagoonloom/objects";
import { askDaemons, newestAnswer, reportNoAnswer } from "./_ask_daemons.ts";
import type { RemoteContext } from "./command_context.ts";
import { EXIT_CODE, type ExitCode } from "./exit_code.ts";

/** Objects to print; all of them unless a kind or a name is given. */
export type GetRequest = {
  kind?: string | undefined;
  name?: string | undefined;
};

/**
 * Prints objects of the set in force, as the daemon with the newest version
 * has them, in the format of the files.
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
  const answers = await askDaemons(context.clients, (c) => c.currentSet());
  const newest = newestAnswer(answers, ({ version }) => version);
  if (newest === undefined) return reportNoAnswer(answers, context);
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

/** Returns the objects of a kind, or undefined if the name is not found. */
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
