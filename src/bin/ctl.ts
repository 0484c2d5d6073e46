/**
 * sequoiaspool-ctl: the operators' command.
 */
import {Command, CommanderError} from 'commander';
import {ControlClient} from '../ctl/control-client.js';
import type {SharedFlags} from '../ctl/control-settings.js';
import {readControlSettings} from '../ctl/control-settings.js';
import {setDataCentre} from '../ctl/data-centre.js';
import {ControlError, ExitCode} from '../ctl/exit-codes.js';
import {reportMove, startMove, takeMoveBack} from '../ctl/move.js';
import {JsonOutput, TextOutput} from '../ctl/output.js';
import {publishFile} from '../ctl/publish.js';
import {recoverState} from '../ctl/recover.js';
import type {RouteOptions} from '../ctl/route.js';
import {describeRoute} from '../ctl/route.js';
import {describeRequest, reportStatus} from '../ctl/status.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import {SettingsError} from '../protocol/settings.js';
import {VERSION} from '../protocol/version.js';

const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  unexpected error
  2  invalid arguments, settings or file
  3  superseded: another operator's record came first, nothing was changed
  4  accepted, but not in force at every live node within the time limit
  5  the platform log did not accept the record in time
  6  the move that was followed was taken back
  7  not found, or no node answers`;

const program = new Command('sequoiaspool-ctl')
  .description('Publishes configurations and controls data centres and moves')
  .version(VERSION)
  .option('-s, --settings <file>', 'TOML settings with log and nodes')
  .option('--log <address>', 'platform log, such as 127.0.0.1:7000')
  .option('--log-name <name>', 'name of the log')
  .option(
    '--node <address>',
    'caller address of a node; may be repeated',
    (address: string, known: string[] = []) => [...known, address],
  )
  .option('--author <name>', 'author of published records')
  .option('--time-limit <duration>', 'longest wait, such as 30s')
  .option('--json', 'write one JSON object')
  .addHelpText('after', EXIT_CODE_HELP)
  .exitOverride();

/** Runs a command with a new client and closes the client. */
async function runCommand(
  handle: (client: ControlClient) => Promise<void>,
): Promise<void> {
  const flags = program.opts<SharedFlags>();
  const output = flags.json ? new JsonOutput() : new TextOutput();
  const client = new ControlClient(readControlSettings(flags), output);
  try {
    await handle(client);
  } finally {
    await client.close();
  }
}

program
  .command('publish <file>')
  .description('publish profiles and services from a TOML file')
  .action((file: string) => runCommand(client => publishFile(client, file)));

const dataCentre = program
  .command('data-centre')
  .description('take a data centre out or bring it back');
dataCentre
  .command('out <name>')
  .description('send it no new work')
  .action((name: string) =>
    runCommand(client => setDataCentre(client, name, true)),
  );
dataCentre
  .command('in <name>')
  .description('bring it back with little traffic at first')
  .action((name: string) =>
    runCommand(client => setDataCentre(client, name, false)),
  );

const move = program
  .command('move')
  .description('move the traffic of a service to another version');
move
  .command('start <service>')
  .description('start a move')
  .requiredOption('--to <version>', 'version to move to')
  .requiredOption('--by <time>', 'time or duration by which it must be done')
  .option('--from <version>', 'version to move from')
  .option('--follow', 'wait for its end')
  .action(
    (
      service: string,
      options: {to: string; by: string; from?: string; follow?: boolean},
    ) =>
      runCommand(client =>
        startMove(client, {
          service,
          from: options.from,
          to: options.to,
          by: options.by,
          follow: options.follow ?? false,
        }),
      ),
  );
move
  .command('status <service>')
  .description('show the newest move')
  .option('--follow', 'wait for its end')
  .action((service: string, options: {follow?: boolean}) =>
    runCommand(client => reportMove(client, service, options.follow ?? false)),
  );
move
  .command('take-back <service>')
  .description('take the running move back')
  .option('--why <text>', 'reason to record', 'taken back by an operator')
  .action((service: string, options: {why: string}) =>
    runCommand(client => takeMoveBack(client, service, options.why)),
  );

program
  .command('recover')
  .description('continue after records expired that no node had read')
  .action(() => runCommand(recoverState));
program
  .command('status')
  .description('show the state and the progress of each node')
  .action(() => runCommand(reportStatus));

program
  .command('explain <request-id>')
  .description('show where a request went and why')
  .action((requestId: string) =>
    runCommand(client => describeRequest(client, requestId)),
  );

program
  .command('route [service]')
  .description(
    'show where the first --node would send a request now, without sending it; --time-limit is that of the request',
  )
  .option('--host <name>', 'host that selects a route, in place of a service')
  .option('--path <path>', 'path of the request')
  .option('--method <method>', 'method of the request')
  .option('--rank <number>', 'priority; 0 is the highest')
  .option('--target <duration>', 'target latency, such as 400ms')
  .option('--nested', 'as a call that a running request makes')
  .action((service: string | undefined, options: RouteOptions) => {
    const flags = program.opts<SharedFlags>();
    const output = flags.json ? new JsonOutput() : new TextOutput();
    return describeRoute(output, flags, service, options);
  });

/** Returns the exit code for an error. */
function findExitCode(error: unknown): ExitCode {
  if (error instanceof ControlError) return error.exitCode;
  if (error instanceof SettingsError) return ExitCode.USAGE;
  if (error instanceof LogUnavailableError) return ExitCode.LOG_UNAVAILABLE;
  return ExitCode.FAILURE;
}

/** Prints an error and returns the exit code for it. */
function reportError(error: unknown): ExitCode {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.SUCCESS : ExitCode.USAGE;
  }
  const exitCode = findExitCode(error);
  const text = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${text}\n`);
  if (program.opts<SharedFlags>().json) {
    process.stdout.write(`${JSON.stringify({error: text, exitCode})}\n`);
  }
  return exitCode;
}

try {
  await program.parseAsync();
} catch (error) {
  process.exitCode = reportError(error);
}
