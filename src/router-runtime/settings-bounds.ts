/** The settings that the reducer uses. */
import type { RouterBounds } from '../router/router-bounds.js';
import type { RouterSettings } from '../router/router-settings.js';

export function toRouterBounds({ timing, retries, coldStart, processor }: RouterSettings): RouterBounds {
  const processorPower = processor.share * processor.speed;
  const { configuration, drain, contact, longestLease, evacuation } = timing;
  return { retries, configuration, drain, contact, longestLease, evacuation, coldStart, processorPower };
}
