/**
 * Part of some work that is admitted, adjusted by how much of it meets overload: it shrinks by a factor
 * while most does, and grows by steps while little does.
 */

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

/** From the minimum to 1. */
export class AdmittedPart {
  current = 1;
  private samples = 0;
  private overloadedSamples = 0;

  constructor(private readonly settings: AdmittedPartSettings) {}

  record(isOverloaded: boolean): void {
    this.samples += 1;
    if (isOverloaded) this.overloadedSamples += 1;
    if (this.samples < this.settings.samplesPerWindow) return;
    this.adjust(this.overloadedSamples / this.samples);
    this.samples = 0;
    this.overloadedSamples = 0;
  }

  private adjust(overloadedPart: number): void {
    const { overloadedFraction, unloadedFraction, increaseStep, minimum } = this.settings;
    if (overloadedPart > overloadedFraction) this.current *= DECREASE_FACTOR;
    else if (overloadedPart < unloadedFraction) this.current += increaseStep;
    this.current = Math.min(1, Math.max(minimum, this.current));
  }
}
