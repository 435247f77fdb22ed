import { fingerprintOf } from "./_claim_table.ts";

/** Claims of about the same age, in order of their fingerprints. */
type Segment = {
  /** Upper 32 bits of the fingerprints. */
  high: Uint32Array;
  /** Lower 8 bits of the fingerprints. */
  low: Uint8Array;
  /** Log time of the newest claim in seconds. */
  newestS: number;
};

/**
 * Fingerprints of claims, of 5 bytes each. A key that was never claimed is
 * found in 11 million with a probability of 1 in 100,000; its order is then
 * refused with an unknown outcome and not run, which is safe.
 */
export class ClaimFingerprints {
  #segments: Segment[] = [];
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get bytes(): number {
    return this.#size * 5;
  }

  add(claims: { fingerprints: Float64Array; newestS: number }): void {
    const sorted = claims.fingerprints.sort();
    const high = new Uint32Array(sorted.length);
    const low = new Uint8Array(sorted.length);
    sorted.forEach((fingerprint, index) => {
      high[index] = Math.floor(fingerprint / 256);
      low[index] = fingerprint % 256;
    });
    this.#segments.push({ high, low, newestS: claims.newestS });
    this.#size += sorted.length;
  }

  has(key: string): boolean {
    if (this.#size === 0) return false;
    const fingerprint = fingerprintOf(key);
    const high = Math.floor(fingerprint / 256);
    const low = fingerprint % 256;
    return this.#segments.some((segment) => contains(segment, high, low));
  }

  /** Removes the segments whose claims are all older. */
  evictBefore(timeS: number): void {
    while (this.#segments[0] && this.#segments[0].newestS < timeS) {
      this.#size -= this.#segments.shift()!.high.length;
    }
  }
}

function contains(segment: Segment, high: number, low: number): boolean {
  let start = 0;
  let end = segment.high.length;
  while (start < end) {
    const middle = (start + end) >> 1;
    if (segment.high[middle]! < high) start = middle + 1;
    else end = middle;
  }
  for (; segment.high[start] === high; start += 1) {
    if (segment.low[start] === low) return true;
  }
  return false;
}
