import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { advanceTime } from "../_fixtures.ts";
import type { MemberFault } from "./_member_faults.ts";
import { type MembersPlay, PLAY_MS, startPlay } from "./_members_play.ts";

/** Seeds that CI plays. MEMBERS_SEEDS names others, such as `1-400`. */
const CI_SEEDS = "1-20";

/** Returns the seeds of a range such as `1-200`. */
function parseSeeds(range: string): number[] {
  const [first = 1, last = first] = range.split("-").map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function describeFault({ atMs, endsMs, member, kind, targets }: MemberFault) {
  return `${atMs} to ${endsMs} ms: ${kind} ${member} ${[...targets].join(" ")}`;
}

const SEEDS = parseSeeds(process.env["MEMBERS_SEEDS"] ?? CI_SEEDS);

describe("members under random faults", () => {
  let play: MembersPlay | undefined;

  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    play?.world.close();
    play = undefined;
    jest.useRealTimers();
  });

  // Guards against a start while a run that another owner has started goes on,
  // or after its end (TWICE), under any sequence of gaps and cuts.
  test.each(SEEDS)("run no task twice (seed %i)", async (seed) => {
    play = startPlay(seed);
    const { faults, world: { observer, logged } } = play;
    await advanceTime(PLAY_MS);
    observer.checkEnds();
    if (observer.violations.length > 0 && process.env["MEMBERS_TRACE"]) {
      console.log([...faults.map(describeFault), ...logged].join("\n"));
    }
    expect(observer.violations).toEqual([]);
    expect(observer.starts.length).toBeGreaterThan(4);
  });
});
