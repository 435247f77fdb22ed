/**
 * Priority classes of requests and jobs.
 *
 * @module
 */

import { z } from "zod";

/** Schema of the priority class of a request or job, highest first. */
export const Urgency = z.enum(["urgent", "normal", "deferrable"]);

/** Priority class of a request or job. */
export type Urgency = z.infer<typeof Urgency>;
