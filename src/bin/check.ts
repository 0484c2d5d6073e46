/**
 * sequoiaspool-check: validates settings and configuration files offline.
 */
import {Command, CommanderError} from 'commander';
import type {z} from 'zod';
import {controlSettingsSchema} from '../ctl/control-settings.js';
import {deploymentSchema} from '../measure/deployment-file.js';
import {configurationSchema} from '../protocol/configuration.js';
import {
  nodeSettingsSchema,
  readTomlFile,
  SettingsError,
} from '../protocol/settings.js';
import {VERSION} from '../protocol/version.js';

const EXIT_FAULTS = 1;
const EXIT_USAGE = 2;

interface FileKind {
  readonly description: string;
  readonly schema: z.ZodType;
}

const FILE_KINDS: Readonly<Record<string, FileKind>> = {
  node: {description: 'settings of a node', schema: nodeSettingsSchema},
  configuration: {
    description: 'profiles and services, as "ctl publish" accepts them',
    schema: configurationSchema,
  },
  deployment: {
    description: 'deployment, such as examples/kona.toml',
    schema: deploymentSchema,
  },
  control: {
    description: 'settings of sequoiaspool-ctl',
    schema: controlSettingsSchema,
  },
};

const EXIT_CODE_HELP = `
Exit codes:
  0  all files are valid
  1  a file has faults; each line names file, key and what is allowed
  2  invalid arguments`;

/** Checks a file and returns its faults, one per line. */
function checkFile(file: string, schema: z.ZodType): string[] {
  try {
    readTomlFile(file, schema);
    return [];
  } catch (error) {
    if (error instanceof SettingsError) return error.message.split('\n');
    throw error;
  }
}

/** Checks files of one kind and prints the result for each. */
function checkFiles(
  files: readonly string[],
  kind: FileKind,
  asJson: boolean,
): void {
  const reports = files.map(file => ({
    file,
    faults: checkFile(file, kind.schema),
  }));
  const hasFaults = reports.some(({faults}) => faults.length > 0);
  if (hasFaults) process.exitCode = EXIT_FAULTS;
  if (asJson) {
    process.stdout.write(`${JSON.stringify({ok: !hasFaults, reports})}\n`);
    return;
  }
  for (const {file, faults} of reports) {
    for (const fault of faults) process.stderr.write(`${fault}\n`);
    if (faults.length === 0) process.stdout.write(`${file}: ok\n`);
  }
}

const program = new Command('sequoiaspool-check')
  .description('Checks settings, configuration and deployment files offline')
  .version(VERSION)
  .option('--json', 'write one JSON object')
  .addHelpText('after', EXIT_CODE_HELP)
  .exitOverride();

for (const [name, kind] of Object.entries(FILE_KINDS)) {
  program
    .command(`${name} <files...>`)
    .description(`check ${kind.description}`)
    .action((files: string[]) =>
      checkFiles(files, kind, program.opts<{json?: boolean}>().json ?? false),
    );
}

try {
  await program.parseAsync();
} catch (error) {
  const isDone = error instanceof CommanderError && error.exitCode === 0;
  if (!isDone) process.exitCode = EXIT_USAGE;
  if (!(error instanceof CommanderError)) throw error;
}
