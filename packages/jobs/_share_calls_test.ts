import { describe, expect, test } from "@jest/globals";
import { shareCalls } from "./_share_calls.ts";

describe("shareCalls", () => {
  // Guards against an owner that reads the same records once for each caller.
  test("shares one call between all that come while another runs", async () => {
    const endCall: ((result: number) => void)[] = [];
    const shared = shareCalls(() =>
      new Promise<number>((resolve) => endCall.push(resolve))
    );
    const results = [shared(), shared(), shared()];
    expect(endCall).toHaveLength(1);
    endCall[0]!(1);
    expect(await results[0]).toBe(1);
    expect(endCall).toHaveLength(2);
    endCall[1]!(2);
    expect(await Promise.all(results)).toEqual([1, 2, 2]);
  });

  // Guards against two calls at a time, of which the earlier one would count as
  // the later one.
  test("shares the next call with one that comes as the last one ends", async () => {
    let count = 0;
    const results: Promise<number>[] = [];
    const shared = shareCalls(() => {
      const call = Promise.resolve(++count);
      if (count === 1) void call.then(() => undefined).then(join);
      return call;
    });
    const join = () => results.push(shared());
    results.push(shared(), shared());
    await Promise.all(results);
    expect(await Promise.all(results)).toEqual([1, 2, 2]);
  });

  // Guards against a caller that waits for ever after a call that failed.
  test("starts the next call after one that failed", async () => {
    let count = 0;
    const shared = shareCalls(() =>
      ++count === 1 ? Promise.reject(new Error("failed")) : Promise.resolve(2)
    );
    const [first, second] = await Promise.allSettled([shared(), shared()]);
    expect(first.status).toBe("rejected");
    expect(second).toMatchObject({ status: "fulfilled", value: 2 });
  });
});
