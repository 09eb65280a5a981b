/** Types of undici's individual modules, taken from the exports of its index. */
declare module 'undici/lib/dispatcher/agent.js' {
  export { Agent as default } from 'undici';
}
declare module 'undici/lib/dispatcher/client.js' {
  export { Client as default } from 'undici';
}
declare module 'undici/lib/dispatcher/dispatcher.js' {
  export { Dispatcher as default } from 'undici';
}
declare module 'undici/lib/dispatcher/pool.js' {
  export { Pool as default } from 'undici';
}
declare module 'undici/lib/core/connect.js' {
  export { buildConnector as default } from 'undici';
}
declare module 'undici/lib/api/api-request.js' {
  import type { Dispatcher } from 'undici';
  const request: Dispatcher['request'];
  export default request;
}
