import { runDemo } from "./run_demo.ts";

const isKept = await runDemo();
process.exit(isKept ? 0 : 1);
