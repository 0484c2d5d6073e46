/**
 * Runs a stand-in for an upstream as a process: `upstream.js OPTIONS-AS-JSON`.
 * A request that crashes the worker ends the process.
 */
import type {UpstreamOptions} from '../test/stand-ins/upstream.js';
import {UpstreamStandIn} from '../test/stand-ins/upstream.js';

const options = JSON.parse(process.argv[2] ?? '{}') as UpstreamOptions;
const upstream = new UpstreamStandIn({
  ...options,
  handleCrash: () => process.exit(1),
});
const address = await upstream.start();
process.stdout.write(`${address}\n`);
process.on('SIGTERM', () => process.exit(0));
