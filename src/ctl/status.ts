/**
 * `status` and `explain REQUEST-ID`: the state that is in force at the nodes,
 * and the path of a request.
 */
import {request} from 'undici';
import type {ControlClient} from './control-client.js';
import {ControlError, ExitCode} from './exit-codes.js';
import {formatMove} from './move.js';
import type {NodeProgress} from './node-directory.js';

const EXPLAIN_TIMEOUT_MS = 2000;
const STATUS_OK = 200;

/** Shows the state and the progress of each live node. */
export async function reportStatus(client: ControlClient): Promise<void> {
  await client.refreshState();
  const {state, directory, output} = client;
  const nodes = await directory.readProgress(await directory.listNodes());
  const {version, nextOffset, configuration, dataCentres, moves} =
    state.current;
  const out = Object.keys(dataCentres).filter(name =>
    state.isDataCentreOut(name),
  );
  const lines = [
    `state version ${version}, next offset ${nextOffset}`,
    `configuration ${configuration?.number ?? 0}, services: ${state.listServices().join(', ') || 'none'}`,
    `data centres out: ${out.join(', ') || 'none'}`,
    ...Object.entries(moves).map(([service, move]) =>
      formatMove(service, move),
    ),
    ...nodes.map(node => formatNode(node, nextOffset)),
  ];
  output.writeResult(lines.join('\n'), {
    version,
    nextOffset,
    configurationNumber: configuration?.number ?? 0,
    dataCentresOut: out,
    moves,
    nodes,
  });
}

/**
 * Shows where a request went and why, from the node that took it.
 *
 * @throws ControlError when no node that was asked knows the request.
 */
export async function describeRequest(
  client: ControlClient,
  requestId: string,
): Promise<void> {
  for (const address of await listCallerAddresses(client)) {
    const explanation = await fetchExplanation(address, requestId);
    if (explanation === undefined) continue;
    const text = JSON.stringify(explanation, undefined, 2);
    client.output.writeResult(text, {requestId, explanation});
    return;
  }
  throw new ControlError(
    ExitCode.NOT_FOUND,
    `no node that was asked knows request ${requestId}`,
  );
}

async function listCallerAddresses(client: ControlClient): Promise<string[]> {
  const nodes = await client.directory.listNodes();
  const known = nodes.flatMap(node => node.callerAddress ?? []);
  return [...new Set([...client.settings.nodes, ...known])];
}

async function fetchExplanation(
  address: string,
  requestId: string,
): Promise<unknown> {
  const path = encodeURIComponent(requestId);
  try {
    const answer = await request(`http://${address}/-/explain/${path}`, {
      signal: AbortSignal.timeout(EXPLAIN_TIMEOUT_MS),
    });
    if (answer.statusCode === STATUS_OK) return await answer.body.json();
    await answer.body.dump();
  } catch {
    // Another node may have taken the request.
  }
  return undefined;
}

function formatNode(node: NodeProgress, nextOffset: number): string {
  const {nodeId, dataCentre} = node;
  if (node.nextOffset === undefined) {
    return `node ${nodeId} (${dataCentre}): no answer`;
  }
  const progress = node.nextOffset >= nextOffset ? 'current' : 'behind';
  return `node ${nodeId} (${dataCentre}): ${progress}, next offset ${node.nextOffset}`;
}
