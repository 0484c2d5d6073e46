/**
 * `recover`: goes on after records expired that no live node had read. Nodes
 * then keep what they have and fold nothing more, because only an operator can
 * say that the missing records are given up.
 */
import type {ControlClient} from './control-client.js';
import {ControlError, ExitCode} from './exit-codes.js';

/**
 * Appends the newest state of any live node as a snapshot from which all go
 * on, when records after it have expired.
 *
 * @throws ControlError when no node answers or nothing is missing.
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
