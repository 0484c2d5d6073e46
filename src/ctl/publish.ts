/**
 * `publish FILE`: publishes profiles and services from a TOML file.
 */
import {readFileSync} from 'node:fs';
import {parse as parseToml} from 'smol-toml';
import {configurationSchema} from '../protocol/configuration.js';
import {readTomlFile, toCamelKeys} from '../protocol/settings.js';
import type {ControlClient, Submission} from './control-client.js';

/**
 * Publishes a configuration and waits until it is in force.
 *
 * @throws SettingsError naming the faults of the file, before anything is sent.
 */
export async function publishFile(
  client: ControlClient,
  file: string,
): Promise<void> {
  readTomlFile(file, configurationSchema);
  const configuration = toCamelKeys(parseToml(readFileSync(file, 'utf8')));
  await client.refreshState();
  const buildsOn = client.state.current.configuration?.number ?? 0;
  const submission = await client.publishRecord({
    kind: 'configuration',
    buildsOn,
    configuration,
  });
  const number = buildsOn + 1;
  client.output.writeResult(
    `configuration ${number} ${formatInForce(submission)}`,
    {configurationNumber: number, ...submission},
  );
}

/** Formats at how many nodes an accepted record is in force. */
export function formatInForce({inForce, nodes}: Submission): string {
  return nodes === 0
    ? 'accepted; not checked at any node whether it is in force'
    : `in force at ${inForce} of ${nodes} nodes`;
}
