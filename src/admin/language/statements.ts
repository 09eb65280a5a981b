/**
 * The parsed statements of the query and command language.
 * docs/LANGUAGE.md shows each form.
 */

/** How a statement refers to a unit: by number, or by a key that the unit contains. */
export type UnitReference =
  { readonly by: 'unit'; readonly unit: number } | { readonly by: 'key'; readonly key: string };

/** The route that a `set route` statement defines. */
export interface RouteDefinition {
  readonly name: string;
  readonly path: string;
  readonly methods: readonly string[];
  readonly group: string;
  readonly key: { readonly from: string; readonly name: string } | null;
  readonly repeatable: boolean;
  readonly priority: string | null;
  readonly timeoutMilliseconds: number | null;
}

/** Numeric settings of a server that a statement can change. */
export type ServerSetting = 'weight' | 'concurrency' | 'connections';

export type Statement =
  | { readonly kind: 'showOwner'; readonly reference: UnitReference; readonly group: string }
  | { readonly kind: 'showUnits'; readonly server: string }
  | { readonly kind: 'showMoving' }
  | { readonly kind: 'showServers' }
  | { readonly kind: 'showShards' }
  | { readonly kind: 'showMembers' }
  | { readonly kind: 'showRoutes' }
  | { readonly kind: 'showConfiguration' }
  | {
      readonly kind: 'move';
      readonly reference: UnitReference;
      readonly group: string;
      readonly target: string;
    }
  | {
      readonly kind: 'handOver';
      readonly reference: UnitReference;
      readonly group: string;
      readonly side: string;
    }
  | { readonly kind: 'pin'; readonly key: string; readonly group: string; readonly target: string }
  | { readonly kind: 'recover'; readonly shard: string }
  | { readonly kind: 'drain'; readonly server: string; readonly draining: boolean }
  | {
      readonly kind: 'setServer';
      readonly server: string;
      readonly field: ServerSetting;
      readonly value: number;
    }
  | { readonly kind: 'setRoute'; readonly route: RouteDefinition }
  | { readonly kind: 'removeRoute'; readonly name: string };
