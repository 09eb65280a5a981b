/** What the case checks, as KNOWN-RED.txt names it. */
export const TITLE = 'an answer that was reset on the way is not passed on as a whole one';
