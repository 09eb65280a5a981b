/** A request as it is sent to a server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | null;
}
