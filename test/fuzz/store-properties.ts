/** Properties of what is read from the store: any entry or configuration is parsed or rejected, never thrown upon. */
import fc from 'fast-check';
import { parseServer, type StoredObject } from '../../platform/documents.js';
import type { FuzzProperty } from './fuzz-property.js';

const anyObject: fc.Arbitrary<StoredObject> = fc.record({
  metadata: fc.record({ name: fc.string(), revision: fc.double(), made: fc.double() }),
  spec: fc.anything(),
});

function isParsedOrRejected(parse: (object: StoredObject) => unknown) {
  return fc.property(anyObject, (object) => {
    parse(object);
  });
}

/** Reads a field without a check, as the planted fault. */
function parseUnchecked({ spec }: StoredObject): string {
  return (spec as { address: string }).address.trim();
}

export const STORE_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'an entry is parsed or rejected',
    build: () => isParsedOrRejected(parseServer),
    buildWithPlantedFault: () => isParsedOrRejected(parseUnchecked),
    shortRuns: 500,
  },
];
