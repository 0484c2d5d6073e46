/**
 * Turns for work that clients can make large at will, such as requests sent
 * ahead. A part of each turn of the event loop is for such work; what doesn't
 * fit waits for the next turn, in the order in which it was asked for, and all
 * other connections are served in between.
 */

/** Time within one turn of the event loop for such work. */
const TURN_MS = 2;

type Task = () => void;

const waiting: Task[] = [];
/** Time at which the part of the present turn ends; undefined before any task. */
let turnEndsAt: number | undefined;

/** Runs a short task now, or in a later turn if this one has had its part. */
export function runInTurn(task: Task): void {
  if (waiting.length > 0 || !hasTime()) waiting.push(task);
  else task();
}

/** Runs a short task in a later turn, after all that wait. */
export function enqueueTask(task: Task): void {
  hasTime();
  waiting.push(task);
}

/** Returns whether the present turn has time left; begins to count if needed. */
function hasTime(): boolean {
  const now = performance.now();
  if (turnEndsAt === undefined) {
    turnEndsAt = now + TURN_MS;
    setImmediate(startTurn);
  }
  return now < turnEndsAt;
}

/** Runs at least one task that waits, and further ones while there is time. */
function startTurn(): void {
  turnEndsAt = undefined;
  let count = 0;
  while (count < waiting.length && (hasTime() || count === 0)) {
    waiting[count]!();
    count += 1;
  }
  waiting.splice(0, count);
}
