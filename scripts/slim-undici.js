/**
 * Exports the part of undici that a node uses. The package's entry point also
 * loads fetch, caches and mocks, and with them the second copy of undici inside
 * Node.js: about 10 MB of memory per process.
 */
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import * as api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';

Object.assign(Dispatcher.prototype, api.default ?? api);

export {Agent, buildConnector, Client, Pool};
