/**
 * Compact table of claims of idempotency keys.
 *
 * @module
 */

/**
 * 4-byte words per claim: 4 of the key, 2 of the request, the holder, the time,
 * and 2 of the answer's offset, of which the last also holds the state.
 */
const WORDS_PER_CLAIM = 10;

/** Offsets of the parts after the key. */
const REQUEST_WORD = 4;
const HOLDER_WORD = 6;
const TIME_WORD = 7;
const OFFSET_LOW_WORD = 8;
const STATE_WORD = 9;

/** States of a claim, in the lowest 2 bits of the state word. */
const STATE_OPEN = 0;
const STATE_COMPLETED = 1;
const STATE_ANSWER_STORED = 2;
const STATE_TOMBSTONE = 3;

const INITIAL_CAPACITY = 1_024;

/** Number of values of a word. */
const WORD_RANGE = 4_294_967_296;

/** Claim that was read from the table. */
export type ClaimView = {
  /** Id of the process that claimed the key. */
  holder: number;
  state: "open" | "completed";
  /** Offset of the stored answer, if any. */
  answerOffset: number | undefined;
};

/**
 * Table of claims in the order of their log times, with an index by key.
 *
 * A ring buffer in a typed array holds the claims, and a hash table with open
 * addressing holds their positions. This takes 48 to 96 bytes per claim and
 * leaves no objects to the garbage collector.
 */
export class ClaimTable {
  #capacity = INITIAL_CAPACITY;
  #words = new Uint32Array(INITIAL_CAPACITY * WORDS_PER_CLAIM);
  /** Ring position of a claim plus 1; 0 marks an empty slot. */
  #index = new Uint32Array(INITIAL_CAPACITY * 2);
  /** Ring position of the oldest claim. */
  #head = 0;
  /** Ring positions in use, including those of tombstones. */
  #used = 0;
  /** Number of claims, without tombstones. */
  #live = 0;

  /** Number of claims. */
  get size(): number {
    return this.#live;
  }

  /** Memory of the table in bytes. */
  get bytes(): number {
    return this.#words.byteLength + this.#index.byteLength;
  }

  /** Returns the position of a key's claim, or -1 if there is none. */
  find(key: string): number {
    const words = toWords(key);
    const slot = this.#findSlot(words);
    return this.#index[slot]! - 1;
  }

  /** Adds the claim of a key that has none, and returns its position. */
  insert(
    key: string,
    claim: { request: string; holder: number; timeS: number },
  ): number {
    if (this.#used === this.#capacity) this.#grow();
    const position = (this.#head + this.#used) % this.#capacity;
    this.#used += 1;
    this.#live += 1;
    const words = toWords(key);
    const base = position * WORDS_PER_CLAIM;
    this.#words.set(words, base);
    this.#words.set(toWords(claim.request).subarray(0, 2), base + REQUEST_WORD);
    this.#words[base + HOLDER_WORD] = claim.holder;
    this.#words[base + TIME_WORD] = claim.timeS;
    this.#words[base + OFFSET_LOW_WORD] = 0;
    this.#words[base + STATE_WORD] = STATE_OPEN;
    this.#index[this.#findSlot(words)] = position + 1;
    return position;
  }

  /** Marks a claim as completed, with the offset of its answer if stored. */
  complete(position: number, answerOffset: number | undefined): void {
    const base = position * WORDS_PER_CLAIM;
    const offset = answerOffset ?? 0;
    const state = answerOffset === undefined
      ? STATE_COMPLETED
      : STATE_ANSWER_STORED;
    this.#words[base + OFFSET_LOW_WORD] = offset % WORD_RANGE;
    this.#words[base + STATE_WORD] = Math.floor(offset / WORD_RANGE) * 4 +
      state;
  }

  /** Removes a claim. */
  remove(position: number): void {
    const base = position * WORDS_PER_CLAIM;
    this.#clearSlot(this.#findSlot(this.#words.subarray(base, base + 4)));
    this.#words[base + STATE_WORD] = STATE_TOMBSTONE;
    this.#live -= 1;
    this.#skipTombstones();
  }

  /** Returns the claim at a position. */
  view(position: number): ClaimView {
    const base = position * WORDS_PER_CLAIM;
    const state = this.#words[base + STATE_WORD]!;
    const offset = Math.floor(state / 4) * WORD_RANGE +
      this.#words[base + OFFSET_LOW_WORD]!;
    return {
      holder: this.#words[base + HOLDER_WORD]!,
      state: state % 4 === STATE_OPEN ? "open" : "completed",
      answerOffset: state % 4 === STATE_ANSWER_STORED ? offset : undefined,
    };
  }

  /** Returns whether a claim is of a request, by 8 bytes of the digest. */
  matches(position: number, request: string): boolean {
    const base = position * WORDS_PER_CLAIM + REQUEST_WORD;
    const words = toWords(request);
    return this.#words[base] === words[0] &&
      this.#words[base + 1] === words[1];
  }

  /** Removes the oldest claims; returns their fingerprints and newest time. */
  takeOldest(count: number): { fingerprints: Float64Array; newestS: number } {
    const fingerprints = new Float64Array(Math.min(count, this.#live));
    let newestS = 0;
    for (let index = 0; index < fingerprints.length; index += 1) {
      const base = this.#head * WORDS_PER_CLAIM;
      fingerprints[index] = joinWords(
        this.#words[base]!,
        this.#words[base + 1]!,
      );
      newestS = this.#words[base + TIME_WORD]!;
      this.remove(this.#head);
    }
    return { fingerprints, newestS };
  }

  /** Removes the claims that are older than a log time in seconds. */
  evictBefore(timeS: number): void {
    while (this.#used > 0) {
      const base = this.#head * WORDS_PER_CLAIM;
      if (this.#words[base + TIME_WORD]! >= timeS) return;
      this.remove(this.#head);
    }
  }

  /** Advances the head of the ring past removed claims. */
  #skipTombstones(): void {
    while (this.#used > 0) {
      if (
        this.#words[this.#head * WORDS_PER_CLAIM + STATE_WORD] !==
          STATE_TOMBSTONE
      ) return;
      this.#head = (this.#head + 1) % this.#capacity;
      this.#used -= 1;
    }
  }

  /** Returns the index slot of a key, or the empty slot where it belongs. */
  #findSlot(words: Uint32Array): number {
    const mask = this.#index.length - 1;
    let slot = words[0]! & mask;
    for (;;) {
      const position = this.#index[slot]! - 1;
      if (position < 0) return slot;
      const base = position * WORDS_PER_CLAIM;
      if (
        this.#words[base] === words[0] && this.#words[base + 1] === words[1] &&
        this.#words[base + 2] === words[2] && this.#words[base + 3] === words[3]
      ) {
        return slot;
      }
      slot = (slot + 1) & mask;
    }
  }

  /** Empties an index slot by backward-shift deletion. */
  #clearSlot(slot: number): void {
    const mask = this.#index.length - 1;
    let hole = slot;
    let next = slot;
    this.#index[hole] = 0;
    for (;;) {
      next = (next + 1) & mask;
      const entry = this.#index[next]!;
      if (entry === 0) return;
      const home = this.#words[(entry - 1) * WORDS_PER_CLAIM]! & mask;
      const isReachable = ((next - home) & mask) < ((next - hole) & mask);
      if (isReachable) continue;
      this.#index[hole] = entry;
      this.#index[next] = 0;
      hole = next;
    }
  }

  /** Copies the claims to a ring without tombstones, at least half empty. */
  #grow(): void {
    const oldWords = this.#words;
    const [head, used, capacity] = [this.#head, this.#used, this.#capacity];
    if (this.#live * 2 > capacity) this.#capacity *= 2;
    this.#words = new Uint32Array(this.#capacity * WORDS_PER_CLAIM);
    this.#index = new Uint32Array(this.#capacity * 2);
    this.#head = 0;
    this.#used = 0;
    for (let count = 0; count < used; count += 1) {
      const base = ((head + count) % capacity) * WORDS_PER_CLAIM;
      if (oldWords[base + STATE_WORD] === STATE_TOMBSTONE) continue;
      const claim = oldWords.subarray(base, base + WORDS_PER_CLAIM);
      this.#words.set(claim, this.#used * WORDS_PER_CLAIM);
      this.#index[this.#findSlot(claim)] = this.#used + 1;
      this.#used += 1;
    }
  }
}

/** Returns a 40-bit fingerprint of a key, which a double holds exactly. */
export function fingerprintOf(key: string): number {
  const [low, high] = toWords(key);
  return joinWords(low!, high!);
}

function joinWords(low: number, high: number): number {
  return low * 256 + high % 256;
}

/** Converts a digest of 22 base64url characters into 4 words. */
function toWords(digest: string): Uint32Array {
  const bytes = Buffer.from(digest, "base64url");
  const words = new Uint32Array(4);
  for (let index = 0; index < 4; index += 1) {
    words[index] = bytes.readUInt32LE(index * 4);
  }
  return words;
}
