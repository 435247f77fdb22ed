// Rules for all code of the repository, with a check that file names are
// snake_case.

import stylistic from "@stylistic/eslint-plugin";
import jsdoc from "eslint-plugin-jsdoc";
import { basename } from "node:path";
import tseslint from "typescript-eslint";

const SNAKE_CASE_FILE = /^_?[a-z0-9]+(_[a-z0-9]+)*\.(ts|js)$/;

const snakeCaseFile = {
  meta: { type: "suggestion", schema: [] },
  create(context) {
    return {
      Program(node) {
        const name = basename(context.filename);
        if (SNAKE_CASE_FILE.test(name)) return;
        context.report({ node, message: `File "${name}" is not snake_case.` });
      },
    };
  },
};

export default tseslint.config(
  {
    ignores: [
      "dist/**",
      "target/**",
      "**/node_modules/**",
      "packages/peers/gen/**",
      "**/*.config.js",
    ],
  },
  {
    files: ["**/*.ts", "**/*.js"],
    extends: [...tseslint.configs.strict, ...tseslint.configs.stylistic],
    plugins: {
      "@stylistic": stylistic,
      jsdoc,
      local: { rules: { "snake-case-file": snakeCaseFile } },
    },
    rules: {
      "local/snake-case-file": "error",
      "@stylistic/max-len": ["error", {
        code: 80,
        ignoreUrls: true,
        ignoreStrings: true,
        ignoreTemplateLiterals: true,
        ignoreRegExpLiterals: true,
      }],
      "max-params": ["error", 3],
      "max-lines": ["error", { max: 400, skipBlankLines: true }],
      "prefer-arrow-callback": "error",
      "no-restricted-exports": ["error", {
        restrictDefaultExports: { direct: true },
      }],
      "@typescript-eslint/no-non-null-assertion": "off",
      "@typescript-eslint/consistent-type-definitions": "off",
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-unused-vars": ["error", {
        argsIgnorePattern: "^_",
      }],
    },
  },
  {
    files: ["packages/*/**/*.ts", "platform/**/*.ts"],
    ignores: ["**/*_test.ts", "**/internal/**", "**/_*.ts"],
    rules: {
      "jsdoc/require-jsdoc": ["error", {
        publicOnly: true,
        require: { FunctionDeclaration: true, ClassDeclaration: true },
        contexts: [
          "ExportNamedDeclaration > TSTypeAliasDeclaration",
          "ExportNamedDeclaration > TSInterfaceDeclaration",
          "ExportNamedDeclaration > VariableDeclaration",
        ],
      }],
    },
  },
);
