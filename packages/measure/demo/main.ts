/**
 * Program that runs the demo; exits with 0 if all guarantees were kept.
 *
 * @module
 */

import { runDemo } from "./run_demo.ts";

const areGuaranteesKept = await runDemo();
process.exit(areGuaranteesKept ? 0 : 1);
