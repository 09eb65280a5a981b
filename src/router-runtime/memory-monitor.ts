/** Watches the process's memory, and reports when it comes close to the limit at which the process would end. */
import { getHeapStatistics } from 'node:v8';

const BYTES_PER_MEGABYTE = 1_000_000;
const SAMPLE_INTERVAL_MILLISECONDS = 250;
/** Fractions of a limit at which memory counts as high, and as normal again. */
const HIGH_FRACTION = 0.75;
const NORMAL_FRACTION = 0.65;
/** While memory is high, it is reported each time this many samples have been taken. */
const SAMPLES_PER_REPORT = 4;

/** Memory of the process, in bytes. */
export interface MemorySample {
  readonly heapUsed: number;
  /** The JavaScript heap's limit: the process ends when its live objects need more. */
  readonly heapLimit: number;
  /** Memory of buffers outside the heap. */
  readonly external: number;
  readonly resident: number;
}

/** Receives what the monitor finds. */
export interface MemoryListener {
  /** Memory is high; called again each second until it is normal. */
  onHigh(sample: MemorySample): void;
  onNormal(sample: MemorySample): void;
}

/** Reads the memory of this process. */
export function sampleMemory(): MemorySample {
  const { used_heap_size, heap_size_limit, external_memory } = getHeapStatistics();
  return {
    heapUsed: used_heap_size,
    heapLimit: heap_size_limit,
    external: external_memory,
    resident: process.memoryUsage.rss(),
  };
}

export class MemoryMonitor {
  readonly #listener: MemoryListener;
  readonly #memoryBytes: number;
  readonly #sample: () => MemorySample;
  /** Samples since memory became high; null: it is normal. */
  #samplesWhileHigh: number | null = null;
  #timer: NodeJS.Timeout | undefined;

  /** @param memoryMegabytes the memory limit of the process */
  constructor(memoryMegabytes: number, listener: MemoryListener, sample = sampleMemory) {
    this.#memoryBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
    this.#listener = listener;
    this.#sample = sample;
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), SAMPLE_INTERVAL_MILLISECONDS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Takes a sample, and reports it if it is due. */
  check(): void {
    const sample = this.#sample();
    const fraction = Math.max(sample.heapUsed / sample.heapLimit, sample.resident / this.#memoryBytes);
    if (this.#samplesWhileHigh === null) {
      if (fraction >= HIGH_FRACTION) {
        this.#samplesWhileHigh = 0;
        this.#listener.onHigh(sample);
      }
      return;
    }
    if (fraction < NORMAL_FRACTION) {
      this.#samplesWhileHigh = null;
      this.#listener.onNormal(sample);
      return;
    }
    this.#samplesWhileHigh += 1;
    if (this.#samplesWhileHigh % SAMPLES_PER_REPORT === 0) {
      this.#listener.onHigh(sample);
    }
  }
}
