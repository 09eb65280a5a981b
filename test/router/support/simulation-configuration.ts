/** The configuration of simulated router daemons: one keyed service. */
import type { Configuration } from '../../../src/router/model/configuration.js';

export const KEYED_SERVICE = 'racks';

export const CONFIGURATION: Configuration = {
  version: 1,
  routes: [
    {
      name: 'racks',
      host: 'h.example',
      pathPrefix: '/racks/',
      repeatable: true,
      timeout: 1_000,
      latencyObjective: 200,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: KEYED_SERVICE, weight: 1 }],
    },
  ],
  services: new Map([
    [
      KEYED_SERVICE,
      {
        name: KEYED_SERVICE,
        keyed: true,
        connectionLimit: 100,
        healthPath: '/health',
        coldTime: 3_000,
        coldRequestRate: 4.2,
      },
    ],
  ]),
  limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeout: 3_000, idleTimeout: 15_000 },
};
