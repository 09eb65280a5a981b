/** What the case checks, as KNOWN-RED.txt names it. */
export const TITLE = 'no owner takes a key under a fence of a leader that was killed';
