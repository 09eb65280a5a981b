/** All properties of the suite, by boundary. */
import type { FuzzProperty } from './fuzz-property.js';
import { STORE_PROPERTIES } from './store-properties.js';

export const ALL_PROPERTIES: readonly FuzzProperty[] = [...STORE_PROPERTIES];
