import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createSilenceCheck, type SilenceCheck } from "./silence_check.ts";

/** Connection that a test tries. */
type Connection = { isRetired: boolean; retire(): void };

function createConnection(): Connection {
  return {
    isRetired: false,
    retire() {
      this.isRetired = true;
    },
  };
}

/** Time after which the other connection is answered in these tests. */
const ANSWER_MS = 300;

describe("createSilenceCheck", () => {
  let silence: SilenceCheck;
  /** Whether calls on other connections are answered. */
  let isAnswered: boolean;
  let tried: Connection[];
  let replacements: Connection[];

  beforeEach(() => {
    jest.useFakeTimers();
    isAnswered = true;
    tried = [];
    replacements = [];
    silence = createSilenceCheck<Connection>({
      async tryAnother(timeoutMs) {
        const connection = createConnection();
        tried.push(connection);
        const tookMs = isAnswered ? ANSWER_MS : timeoutMs;
        await new Promise((resolve) => setTimeout(resolve, tookMs));
        return isAnswered ? connection : undefined;
      },
      replace: (connection) => replacements.push(connection),
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
      silence.noteAnswer(100);
    }
    await jest.advanceTimersByTimeAsync(10_000);
    expect(tried).toEqual([]);
  });

  // Guards against a dead connection that is kept as calls go on.
  test("replaces a dead connection however many calls there are", async () => {
    for (let calls = 0; calls < 21; calls++) {
      silence.noteCall();
      await jest.advanceTimersByTimeAsync(100);
    }
    expect(replacements).toEqual(tried.slice(0, 1));
    expect(replacements).toHaveLength(1);
  });

  // Guards against connections that are ended although the way to the member,
  // or the member, is what does not answer.
  test("keeps the connection while another one has no answer either", async () => {
    isAnswered = false;
    for (let calls = 0; calls < 100; calls++) {
      silence.noteCall();
      await jest.advanceTimersByTimeAsync(100);
    }
    expect(tried.length).toBeGreaterThan(1);
    expect(replacements).toEqual([]);
  });

  // Guards against a connection that is replaced although it carries answers.
  test("keeps a connection that is answered meanwhile", async () => {
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(1_300);
    silence.noteAnswer(1_300);
    await jest.advanceTimersByTimeAsync(10_000);
    expect(replacements).toEqual([]);
    expect(tried).toMatchObject([{ isRetired: true }]);
  });

  // Guards against a connection for each call to a member that is slow.
  test("gives a call more time where answers take longer", async () => {
    for (let calls = 0; calls < 10; calls++) {
      silence.noteCall();
      await jest.advanceTimersByTimeAsync(1_000);
      silence.noteAnswer(1_000);
    }
    expect(tried).toEqual([]);
  });

  // Guards against the end of an earlier check that counts for a later one.
  test("has one check at a time", async () => {
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(1_250);
    silence.noteAnswer(1_250);
    silence.noteCall();
    await jest.advanceTimersByTimeAsync(200);
    expect(tried).toHaveLength(1);
  });
});
