/** A property that holds for any input from outside, with a planted fault that shows that it finds one. */
import type fc from 'fast-check';

/** A property of fast-check over any kind of value. */
export type AnyProperty = fc.IRawProperty<unknown, boolean>;

export interface FuzzProperty {
  readonly name: string;
  /** Builds the property of the product. */
  readonly build: () => AnyProperty;
  /** Builds the same property of a variant of the product with a fault, which the property must find. */
  readonly buildWithPlantedFault: () => AnyProperty;
  /** Inputs that a short run tries. */
  readonly shortRuns: number;
}
