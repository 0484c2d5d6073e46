/**
 * `npm start`: runs a whole deployment on loopback. Shows a live status line or,
 * with `--seconds`, runs a seeded load and prints the results.
 */
import {Command, InvalidArgumentError} from 'commander';
import {hasNoFaults, runDeploymentLoad} from '../measure/deployment-load.js';
import {readDeploymentFile} from '../measure/deployment-file.js';
import {startDeployment} from '../measure/deployment-launch.js';
import {describeDeployment, watchStatus} from '../measure/live-status.js';
import {VERSION} from '../protocol/version.js';

const EXIT_FAULTS = 1;
const EXIT_NOT_STARTED = 2;
const CLEAR_LINE = '\r\u001b[K';

interface StartOptions {
  readonly file: string;
  readonly seconds?: number;
  readonly seed: string;
  readonly json: boolean;
}

const program = new Command('npm start --')
  .description('Runs a whole deployment with stand-ins on loopback')
  .version(VERSION)
  .option('-f, --file <file>', 'deployment file', 'examples/kona.toml')
  .option('--seconds <n>', 'run a load for this time, then stop', parseSeconds)
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--json', 'print only one JSON object of results', false)
  .action(run);

try {
  await program.parseAsync();
} catch (error) {
  process.stderr.write(`${String(error)}\n`);
  process.exit(EXIT_NOT_STARTED);
}

async function run(options: StartOptions): Promise<void> {
  const stopping = new AbortController();
  const stop = (): void => stopping.abort();
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
  const write = (text: string): void => {
    if (!options.json) process.stdout.write(text);
  };
  const file = readDeploymentFile(options.file);
  write(`Starting ${file.deployment.name} ...\n`);
  const launched = await startDeployment(file);
  try {
    write(`${describeDeployment(launched.deployment)}\n`);
    const {signal} = stopping;
    const {seconds, seed} = options;
    if (seconds === undefined) {
      await watchStatus(
        launched.deployment,
        line => write(`${CLEAR_LINE}${line}`),
        signal,
      );
      write('\n');
    } else {
      const {deployment} = launched;
      const load = {seed, seconds, signal};
      const results = await runDeploymentLoad(file, deployment, load);
      if (!hasNoFaults(results)) process.exitCode = EXIT_FAULTS;
      process.stdout.write(`${JSON.stringify(results)}\n`);
    }
  } finally {
    await launched.stop();
  }
  process.exit();
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (!(seconds > 0))
    throw new InvalidArgumentError('expected a number above 0');
  return seconds;
}
