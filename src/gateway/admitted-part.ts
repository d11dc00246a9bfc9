/**
 * Part of some work that is admitted, adjusted by how much of it meets overload: it shrinks by a factor
 * while most does, grows by steps while little does, and recovers with time while none does.
 */
import type { Clock } from '../seams/clock.js';
import { RecoveringPart } from './recovering-part.js';

/** When and by how much the part is adjusted. */
export interface AdmittedPartSettings {
  /** Samples after which the part is adjusted. */
  readonly samplesPerWindow: number;
  /** Above this fraction of overloaded samples the part is multiplied by {@link DECREASE_FACTOR}. */
  readonly overloadedFraction: number;
  /** Below this fraction the part grows by `increaseStep`. */
  readonly unloadedFraction: number;
  readonly increaseStep: number;
  /** Never less is admitted, so that the end of an overload is noticed. */
  readonly minimum: number;
}

const DECREASE_FACTOR = 0.82;
/** After a longer pause, the samples of a window that has not ended are of another time. */
const MAXIMUM_SAMPLE_GAP_MS = 2_000;

/** From the minimum to 1. */
export class AdmittedPart {
  private readonly part = new RecoveringPart();
  private samples = 0;
  private overloadedSamples = 0;
  private sampledAt = -Infinity;

  constructor(
    private readonly settings: AdmittedPartSettings,
    private readonly clock: Pick<Clock, 'now'>,
  ) {}

  get current(): number {
    return this.part.at(this.clock.now());
  }

  record(isOverloaded: boolean): void {
    const now = this.clock.now();
    if (now - this.sampledAt > MAXIMUM_SAMPLE_GAP_MS) this.startWindow();
    this.sampledAt = now;
    this.samples += 1;
    if (isOverloaded) {
      this.overloadedSamples += 1;
      this.part.hold(now);
    }
    if (this.samples < this.settings.samplesPerWindow) return;
    this.adjust(this.overloadedSamples / this.samples);
    this.startWindow();
  }

  private startWindow(): void {
    this.samples = 0;
    this.overloadedSamples = 0;
  }

  private adjust(overloadedPart: number): void {
    const { overloadedFraction, unloadedFraction, increaseStep, minimum } = this.settings;
    let { current } = this;
    if (overloadedPart > overloadedFraction) current *= DECREASE_FACTOR;
    else if (overloadedPart < unloadedFraction) current += increaseStep;
    this.part.set(Math.min(1, Math.max(minimum, current)), this.clock.now());
  }
}
