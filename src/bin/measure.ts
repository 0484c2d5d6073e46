/**
 * sequoiaspool-measure: runs one scenario on a deployment of real processes
 * and prints the results as one JSON object on the last line.
 */
import {Command, InvalidArgumentError} from 'commander';
import {readDeploymentFile} from '../measure/deployment-file.js';
import {writePlot} from '../measure/plot.js';
import {runScenario, SCENARIOS} from '../measure/scenarios/scenario-table.js';
import {VERSION} from '../protocol/version.js';

const EXIT_USAGE = 2;
const EXIT_STOPPED = 130;

interface MeasureOptions {
  readonly list: boolean;
  readonly file: string;
  readonly seed: string;
  readonly seconds: number;
  readonly rate?: number;
  readonly plot?: string;
}

const program = new Command('sequoiaspool-measure')
  .description('Runs an experiment and prints its results as JSON')
  .version(VERSION)
  .argument('[scenario]', 'name of the scenario')
  .option('-l, --list', 'list the scenarios', false)
  .option('-f, --file <file>', 'deployment file', 'examples/kona.toml')
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--seconds <n>', 'length of each measured run', parsePositive, 5)
  .option('--rate <n>', 'total calls per second', parsePositive)
  .option('--plot <file>', 'also plot the main results as SVG')
  .action(run);

// The child processes are killed when this one exits.
process.on('SIGINT', () => process.exit(EXIT_STOPPED));
process.on('SIGTERM', () => process.exit(EXIT_STOPPED));

try {
  await program.parseAsync();
} catch (error) {
  process.stderr.write(`${String(error)}\n`);
  process.exit(EXIT_USAGE);
}

async function run(
  name: string | undefined,
  options: MeasureOptions,
): Promise<void> {
  if (options.list || name === undefined) {
    for (const [scenario, {description}] of Object.entries(SCENARIOS)) {
      process.stdout.write(`${scenario.padEnd(24)} ${description}\n`);
    }
    return;
  }
  const report = await runScenario(name, {
    seed: options.seed,
    seconds: options.seconds,
    ratePerSecond: options.rate,
    file: readDeploymentFile(options.file),
  });
  if (options.plot !== undefined) {
    if (!report.plot) throw new Error(`${name}: this scenario has no plot`);
    await writePlot(options.plot, report.plot);
  }
  process.stdout.write(`${JSON.stringify(report)}\n`);
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!(value > 0)) throw new InvalidArgumentError('expected a number above 0');
  return value;
}
