// Compiles the tests with swc, without type checks; tsc checks the types.
export default {
  testEnvironment: "node",
  testMatch: [
    "<rootDir>/packages/**/*_test.ts",
    "<rootDir>/platform/**/*_test.ts",
  ],
  extensionsToTreatAsEsm: [".ts"],
  transform: {
    "\\.ts$": ["@swc/jest", {
      jsc: { parser: { syntax: "typescript" }, target: "es2022" },
      module: { type: "es6" },
    }],
  },
  testTimeout: 30_000,
  maxWorkers: 6,
};
