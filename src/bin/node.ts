/**
 * sequoiaspool-node: the node process, one on the host of each worker.
 */
import {Command} from 'commander';
import {NodeProcess} from '../node-process.js';
import {
  nodeSettingsSchema,
  readTomlFile,
  SettingsError,
} from '../protocol/settings.js';
import {VERSION} from '../protocol/version.js';

const EXIT_BAD_SETTINGS = 2;

const program = new Command('sequoiaspool-node')
  .description(
    'Forwards requests and controls admission at the worker on this host',
  )
  .version(VERSION)
  .requiredOption('-s, --settings <file>', 'TOML settings of this node')
  .action(async (options: {settings: string}) => {
    const settings = readTomlFile(options.settings, nodeSettingsSchema);
    const node = new NodeProcess(settings);
    let stopping: Promise<void> | undefined;
    const stop = (): void => {
      stopping ??= node.stop().then(() => process.exit(0));
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
    await node.start();
  });

try {
  await program.parseAsync();
} catch (error) {
  const text = error instanceof SettingsError ? error.message : String(error);
  process.stderr.write(`${text}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}
