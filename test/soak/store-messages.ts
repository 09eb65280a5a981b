/** Messages between a soak and the thread on which its store is. */
import type { StoreMode } from './fake-store.js';

/** A command to the store. The store answers each with the time at which it was carried out. */
export type StoreCommand =
  | { readonly kind: 'put'; readonly object: string; readonly name: string; readonly spec: unknown }
  | {
      readonly kind: 'putBytes';
      readonly object: string;
      readonly name: string;
      readonly bytes: Uint8Array;
    }
  | { readonly kind: 'remove'; readonly object: string; readonly name: string }
  | { readonly kind: 'read'; readonly object: string; readonly name: string }
  | { readonly kind: 'setMode'; readonly mode: StoreMode }
  | { readonly kind: 'muteConnections' };

export interface NumberedCommand {
  readonly id: number;
  readonly command: StoreCommand;
}

export type StoreMessage =
  | { readonly kind: 'listening'; readonly address: string }
  /** `value` is what a `read` found. */
  | { readonly kind: 'done'; readonly id: number; readonly at: number; readonly value: unknown };
