import { describe, expect, test } from "@jest/globals";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";

const ROOT = join(import.meta.dirname, "../../..");

/** Finds the source files below a folder. */
function listSources(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.name === "node_modules") return [];
    if (entry.isDirectory()) return listSources(path);
    return entry.name.endsWith(".ts") ? [path] : [];
  });
}

/** Returns the source files that a file imports or exports from. */
function importsOf(path: string): string[] {
  const text = readFileSync(path, "utf8");
  const matches = text.matchAll(/^(?:import|export)\s[^;]*?from "([^"]+)";/gms);
  return [...matches].flatMap(([, name]) => {
    const target = name!.startsWith("@lagoonloom/")
      ? join(ROOT, "packages", name!.slice("@lagoonloom/".length), "mod.ts")
      : join(dirname(path), name!);
    return existsSync(target) ? [target] : [];
  });
}

/** Returns a circle of files that import each other, if there is one. */
function findCircle(imports: ReadonlyMap<string, string[]>): string[] {
  const checked = new Set<string>();
  const path: string[] = [];
  const visit = (file: string): string[] => {
    const start = path.indexOf(file);
    if (start >= 0) return path.slice(start);
    if (checked.has(file)) return [];
    path.push(file);
    for (const imported of imports.get(file) ?? []) {
      const circle = visit(imported);
      if (circle.length > 0) return circle;
    }
    path.pop();
    checked.add(file);
    return [];
  };
  for (const file of imports.keys()) {
    const circle = visit(file);
    if (circle.length > 0) return circle;
  }
  return [];
}

describe("the source files", () => {
  // Guards against files that can't be read or moved without each other.
  test("import each other in no circle", () => {
    const sources = ["packages", "platform"].flatMap((folder) =>
      listSources(join(ROOT, folder))
    );
    expect(sources.length).toBeGreaterThan(500);
    const imports = new Map(sources.map((path) => [path, importsOf(path)]));
    expect(findCircle(imports).map((path) => relative(ROOT, path))).toEqual([]);
  });

  // Guards against a search that finds no circle, whatever there is.
  test("would be found if they did", () => {
    const imports = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
    expect(findCircle(imports)).toEqual(["b", "c"]);
  });
});
