// Stand-in of the executors, as PROTOCOL.md describes them. The lives of one
// executor share its address; each has its own clock, token and lists.

import { parseJson, serve } from "./http_server.js";

/** Longest lease; each site has its own. */
const HOLD_MAX_MS = 6_000;
const STOP_MS = 50;
const CHECK_MS = 20;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 600;
/** Digits of a checkpoint that hold the work done, in ms. */
const DONE_DIGITS = 8;

const stepOf = (task) => task.split(".").slice(0, 3).join(".");

/** Encodes a checkpoint: the work done, and the job that it belongs to. */
const encodeCheckpoint = (task, doneMs) =>
  Math.floor(doneMs).toString(16).padStart(DONE_DIGITS, "0") + task.slice(0, 8);

const decodeCheckpoint = (checkpoint) =>
  checkpoint === "" ? 0 : Number.parseInt(checkpoint.slice(0, DONE_DIGITS), 16);

/** Returns the work that a run has done, in ms. */
function doneMsOf({ fromMs, beginMs }) {
  return fromMs + Math.max(0, performance.now() - beginMs);
}

/** Returns the checkpoint of a run; at a stop, it holds all that is done. */
function checkpointOf(task, run, isStop) {
  if (!run.isSaved) return "";
  const doneMs = Math.min(doneMsOf(run), run.ms);
  if (isStop) return doneMs === 0 ? "" : encodeCheckpoint(task, doneMs);
  const savedMs = CHECKPOINT_MS * Math.floor(doneMs / CHECKPOINT_MS);
  const newest = Math.max(savedMs, run.fromMs);
  return newest === 0 ? "" : encodeCheckpoint(task, newest);
}

/** One life of an executor. */
class Life {
  running = new Map();
  ended = [];
  highestRun = new Map();
  waiting = new Set();
  lastEnd = 0;
  token = 0;
  leaseMs = 0;
  bootMs = performance.now();
  born = Date.now();
  isGone = false;

  constructor(options) {
    this.options = options;
    this.timer = setInterval(() => this.check(), CHECK_MS);
  }

  clockMs() {
    return Math.floor(performance.now() - this.bootMs) + 1_000;
  }

  check() {
    if (this.clockMs() >= this.leaseMs) {
      for (const task of [...this.running.keys()]) this.end(task, "lapsed");
    }
    const nowMs = performance.now();
    for (const [task, run] of [...this.running]) {
      if (run.stopAtMs <= nowMs) this.end(task, "stopped");
      else if (run.endAtMs <= nowMs) this.end(task, run.how);
    }
  }

  extend(untilMs) {
    if (untilMs === undefined) return;
    const longest = this.clockMs() + (this.options.holdMaxMs ?? HOLD_MAX_MS);
    this.leaseMs = Math.max(this.leaseMs, Math.min(untilMs, longest));
  }

  accepts(token = 0) {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  end(task, how) {
    const run = this.running.get(task);
    if (run === undefined) return;
    this.running.delete(task);
    this.raise(task, run.run);
    const saved = how === "done" || how === "failed"
      ? ""
      : checkpointOf(task, run, true);
    this.ended.push([++this.lastEnd, task, run.run, how, saved]);
    this.options.record("end", {
      task,
      run: run.run,
      how,
      saved,
      by: this.options.id,
    });
    this.options.gangs.leave(task, run, how);
    for (const wake of this.waiting) wake();
  }

  raise(task, run) {
    this.highestRun.set(task, Math.max(this.highestRun.get(task) ?? 0, run));
  }

  refuse(asked, reason) {
    const { task, run } = asked;
    this.options.record("refused", { task, run, reason, by: this.options.id });
    return { status: 409, body: { clockMs: this.clockMs(), reason } };
  }

  start(asked) {
    const { task, run, fencingToken, untilMs } = asked;
    if (!this.accepts(fencingToken)) return this.refuse(asked, "fence");
    this.extend(untilMs);
    if (untilMs <= this.clockMs()) return this.refuse(asked, "late");
    const current = this.running.get(task);
    if (current?.run === run) {
      return { status: 200, body: { clockMs: this.clockMs() } };
    }
    const highest = this.highestRun.get(task) ?? 0;
    if (current !== undefined || run <= highest) {
      return this.refuse(asked, "old");
    }
    const { options } = this;
    if (options.checkTicket?.(asked, this) === false) {
      return this.refuse(asked, "ticket");
    }
    if (!this.hasRoom(task)) return this.refuse(asked, "room");
    const work = options.workOf(task, run);
    const checkpoint = asked.checkpoint ?? "";
    const fromMs = decodeCheckpoint(checkpoint);
    const beginMs = performance.now() + (fromMs > 0 ? RESTORE_MS : 0);
    this.running.set(task, {
      run,
      size: options.sizeOf(task),
      checkpoint,
      fromMs,
      beginMs,
      endAtMs: beginMs + work.ms - fromMs,
      ms: work.ms,
      how: work.how ?? "done",
      stopAtMs: Infinity,
      isSaved: options.isSaved?.(task) === true,
    });
    options.record("start", {
      task,
      run,
      token: fencingToken,
      checkpoint,
      by: options.id,
    });
    options.gangs.join(task, this);
    options.onStart?.(task, this);
    return { status: 200, body: { clockMs: this.clockMs() } };
  }

  hasRoom(task) {
    const { capacity } = this.options;
    const wanted = this.options.sizeOf(task);
    let cpu = wanted.cpu;
    let memMb = wanted.memMb;
    for (const { size } of this.running.values()) {
      cpu += size.cpu;
      memMb += size.memMb;
    }
    return cpu <= capacity.cpu && memMb <= capacity.memMb;
  }

  stop({ task, run, fencingToken }) {
    if (!this.accepts(fencingToken)) return this.refuse({ task, run }, "fence");
    this.raise(task, run);
    const current = this.running.get(task);
    if (current?.run === run && current.stopAtMs === Infinity) {
      this.options.record("stop", { task, run, by: this.options.id });
      current.stopAtMs = performance.now() + STOP_MS;
    }
    return { status: 200, body: { clockMs: this.clockMs() } };
  }

  async hold({ fencingToken, lastSeen, untilMs, waitMs = 0 }) {
    if (!this.accepts(fencingToken)) return this.refuse({}, "fence");
    this.extend(untilMs);
    const isSeen = ([number]) => number <= lastSeen;
    for (const [number, task, run, how] of this.ended.filter(isSeen)) {
      this.options.record("noted", { number, task, run, how });
    }
    this.ended = this.ended.filter((end) => !isSeen(end));
    if (waitMs > 0 && this.ended.length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Math.min(waitMs, 2_000));
        this.waiting.add(finish);
      });
    }
    if (this.isGone) return undefined;
    return {
      status: 200,
      body: {
        clockMs: this.clockMs(),
        born: this.born,
        running: [...this.running].map(([task, run]) => [
          task,
          run.run,
          checkpointOf(task, run, false),
          this.percentOf(run),
          0,
        ]),
        finished: this.ended.slice(0, MAX_LISTED_ENDS),
      },
    };
  }

  percentOf(run) {
    if (run.ms === Infinity) return 100;
    return Math.min(99, Math.floor(100 * doneMsOf(run) / run.ms));
  }

  /** Ends everything at once, as a crash does. */
  crash() {
    this.isGone = true;
    clearInterval(this.timer);
    const lost = [...this.running];
    this.running.clear();
    for (const [task, run] of lost) {
      this.options.record("lost", { task, run: run.run, by: this.options.id });
      this.options.gangs.leave(task, run, "lost");
    }
    for (const wake of this.waiting) wake();
  }
}

/**
 * Members of gangs that are present, over all executors. Members that resume
 * from different checkpoints don't work together.
 */
export function createGangs({ membersOf, waitMs }) {
  const present = new Map();
  const keyOf = (task, { run, checkpoint }) =>
    [stepOf(task), run, checkpoint].join("/");
  return {
    join(task, life) {
      const count = membersOf(task);
      if (count === undefined) return;
      const state = life.running.get(task);
      const key = keyOf(task, state);
      const members = present.get(key) ?? new Map();
      present.set(key, members);
      members.set(task, life);
      state.plannedHow = state.how;
      if (members.size < count) {
        state.beginMs = Infinity;
        state.endAtMs = performance.now() + waitMs;
        state.how = "alone";
        return;
      }
      const beginMs = performance.now() + (state.fromMs > 0 ? RESTORE_MS : 0);
      for (const [name, { running }] of members) {
        const member = running.get(name);
        member.how = member.plannedHow;
        member.beginMs = beginMs;
        member.endAtMs = beginMs + member.ms - member.fromMs;
      }
    },
    leave(task, state, how) {
      const members = present.get(keyOf(task, state));
      if (members === undefined) return;
      members.delete(task);
      if (how === "done" || how === "alone") return;
      for (const [name, life] of [...members]) {
        members.delete(name);
        life.end(name, "broken");
      }
    },
  };
}

/**
 * Starts an executor that registers itself in the store. Options: `host`,
 * `store`, `id`, `service`, `labels`, `capacity`, `record`, `gangs`,
 * `workOf(task, run)` (`ms`, Infinity for work that lasts, and `how`),
 * `sizeOf(task)`, `isSaved(task)` where work items checkpoint, and
 * `checkTicket(asked, life)` where queues need advice.
 */
export async function startExecutor(options) {
  let life = new Life(options);
  let seq = 0;
  const server = await serve(options.host, async (call) => {
    const current = life;
    // A crashed executor does not answer.
    if (current === undefined) return undefined;
    if (call.headers["x-expected-instance"] !== options.id) {
      return { status: 421, body: {} };
    }
    const asked = parseJson(call.body);
    switch (call.path) {
      case "/lagoonloom/run-start":
        // An order that is carried out late gets no answer.
        if (options.isLate?.(asked, options.id) === true) {
          options.record("order late", { task: asked.task, by: options.id });
          return undefined;
        }
        return current.start(asked);
      case "/lagoonloom/run-stop":
        return current.stop(asked);
      case "/lagoonloom/hold":
        return await current.hold(asked);
      default:
        return { status: 404, body: {} };
    }
  });
  const register = () => {
    if (life === undefined) return;
    options.store.put(
      "servers",
      options.id,
      JSON.stringify({
        service: options.service,
        address: server.address,
        zone: "detroit",
        version: "v1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 0,
        seq: ++seq,
        capacity: { ...options.capacity, gpu: 0 },
        labels: options.labels,
        born: life.born,
        clockMs: life.clockMs(),
      }),
    );
  };
  register();
  let timer = setInterval(register, HEARTBEAT_MS);
  return {
    id: options.id,
    address: server.address,
    life: () => life,
    /** Carries out a start that is late, at the life of now. */
    carryOut: (asked) => life?.start(asked),
    /** Crashes; the executor starts again under its id after a while. */
    crash(downMs) {
      options.record("crash", { by: options.id, downMs });
      life.crash();
      life = undefined;
      setTimeout(() => {
        life = new Life(options);
        options.record("back", { by: options.id });
        // The first heartbeat of the new life.
        clearInterval(timer);
        setTimeout(register, options.firstBeatMs ?? 0);
        timer = setInterval(register, HEARTBEAT_MS);
      }, downMs);
    },
    close() {
      clearInterval(timer);
      life?.crash();
      server.close();
    },
  };
}
