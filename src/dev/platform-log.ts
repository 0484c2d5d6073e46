/**
 * Runs the stand-in for the platform log as a process: `platform-log.js PORT`.
 */
import {PlatformLogStandIn} from '../test/stand-ins/platform-log.js';

const log = new PlatformLogStandIn();
const address = await log.start(Number(process.argv[2] ?? 0));
process.stdout.write(`${address}\n`);
process.on('SIGTERM', () => process.exit(0));
