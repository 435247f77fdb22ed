import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createSilenceCheck, type SilenceCheck } from "./silence_check.ts";

describe("createSilenceCheck", () => {
  let silence: SilenceCheck;
  /** Whether checks end without an answer. */
  let isSilent: boolean;
  let checkCount: number;
  let silentCount: number;

  beforeEach(() => {
    jest.useFakeTimers();
    isSilent = true;
    checkCount = 0;
    silentCount = 0;
    silence = createSilenceCheck({
      check(timeoutMs) {
        checkCount++;
        return new Promise((resolve) =>
          setTimeout(() => resolve(isSilent), timeoutMs)
        );
      },
      onSilent: () => silentCount++,
    });
  });

  afterEach(() => {
    silence.close();
    jest.useRealTimers();
  });

  // Guards against calls of its own to members that answer, or that nobody
  // calls.
  test("checks no member while it answers or is not called", async () => {
    for (let calls = 0; calls < 100; calls++) {
      silence.noteCall();
      await jest.advanceTimersByTimeAsync(100);
      silence.noteAnswer();
    }
    await jest.advanceTimersByTimeAsync(10_000);
    expect(checkCount).toBe(0);
  });

  // Guards against a dead connection that is kept as calls go on.
  test("finds a silent member however many calls there are", async () => {
    for (let calls = 0; calls < 21; calls++) {
      silence.noteCall();
      await jest.advanceTimersByTimeAsync(100);
    }
    expect(silentCount).toBe(1);
  });

  // Guards against a connection that is replaced although it carries answers.
  test.each([
    { what: "the check", answer: () => (isSilent = false) },
    { what: "another call", answer: () => silence.noteAnswer() },
  ])("keeps a member that answers $what", async ({ answer }) => {
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(1_000);
    answer();
    await jest.advanceTimersByTimeAsync(10_000);
    expect(silentCount).toBe(0);
  });

  // Guards against the end of an earlier check that counts for a later one.
  test("has one check at a time", async () => {
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(900);
    silence.noteAnswer();
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(1_000);
    expect(checkCount).toBe(1);
  });
});
