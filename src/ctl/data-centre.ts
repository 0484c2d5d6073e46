/**
 * `data-centre out|in NAME`: takes a data centre out or brings it back.
 */
import type {ControlClient} from './control-client.js';
import {ControlError, ExitCode} from './exit-codes.js';
import {formatInForce} from './publish.js';

/** Takes a data centre out or brings it back, and waits until in force. */
export async function setDataCentre(
  client: ControlClient,
  dataCentre: string,
  out: boolean,
): Promise<void> {
  await client.refreshState();
  await checkIsKnown(client, dataCentre);
  const known = client.state.current.dataCentres[dataCentre];
  const direction = out ? 'out' : 'in';
  if ((known?.isOut ?? false) === out) {
    client.output.writeResult(`${dataCentre} is ${direction} already`, {
      dataCentre,
      out,
      changed: false,
    });
    return;
  }
  const submission = await client.publishRecord({
    kind: 'data-centre',
    buildsOn: known?.number ?? 0,
    dataCentre,
    out,
  });
  client.output.writeResult(
    `${dataCentre} ${direction}: ${formatInForce(submission)}`,
    {dataCentre, out, changed: true, ...submission},
  );
}

/** Rejects an unknown name, because its record would have no effect. */
async function checkIsKnown(
  client: ControlClient,
  dataCentre: string,
): Promise<void> {
  if (client.state.current.dataCentres[dataCentre]) return;
  const nodes = await client.directory.listNodes();
  const names = [...new Set(nodes.map(node => node.dataCentre))].sort();
  if (names.length === 0 || names.includes(dataCentre)) return;
  throw new ControlError(
    ExitCode.NOT_FOUND,
    `no node is in data centre "${dataCentre}"; known: ${names.join(', ')}`,
  );
}
