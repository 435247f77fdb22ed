/**
 * Command line for operators.
 *
 * @module
 */

export * from "./check_command.ts";
export * from "./cli_settings.ts";
export * from "./command_context.ts";
export * from "./diff_command.ts";
export * from "./exit_code.ts";
export * from "./explain_command.ts";
export * from "./get_command.ts";
export * from "./history_command.ts";
export * from "./job_command.ts";
export * from "./program.ts";
export * from "./publish_command.ts";
export * from "./status_command.ts";
export * from "./trace_command.ts";
