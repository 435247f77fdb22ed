import { measureRollout } from "./capacity/measure_rollout.ts";
const t = performance.now();
for (const r of measureRollout()) console.log(r.deployment, r.policy, r.value);
console.log(performance.now() - t);
