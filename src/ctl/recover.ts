/**
 * `recover`: continues after records expired that no live node had read. Nodes
 * then keep their state and apply no further records, because only an operator
 * can decide to give up the missing ones.
 */
import type {ControlClient} from './control-client.js';
import {ControlError, ExitCode} from './exit-codes.js';

/**
 * Appends the newest state of any live node as a snapshot from which all nodes
 * continue, when records after it have expired.
 *
 * @throws ControlError when no node answers, or as publishRecord does.
 */
export async function recoverState(client: ControlClient): Promise<void> {
  const {directory, output, state} = client;
  const nodes = await directory.readProgress(await directory.listNodes());
  const newestFirst = nodes
    .filter(node => node.nextOffset !== undefined)
    .sort((a, b) => b.nextOffset! - a.nextOffset!);
  if (!(await client.fetchState(newestFirst))) {
    throw new ControlError(ExitCode.NOT_FOUND, 'no node answers');
  }
  const {firstOffset} = await client.readLogBounds();
  const missing = firstOffset - state.current.nextOffset;
  if (missing <= 0) {
    output.writeResult('nothing is missing', {missing: 0});
    return;
  }
  const submission = await client.publishRecord({
    kind: 'snapshot',
    buildsOn: 0,
    upToOffset: firstOffset,
    state: {...state.current, nextOffset: firstOffset},
  });
  output.writeResult(
    `${missing} records given up; in force at ${submission.inForce} of ${submission.nodes} nodes`,
    {missing, ...submission},
  );
}
