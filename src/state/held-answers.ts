/**
 * Complete answers of attempts, kept within a bound in bytes for entries that
 * lost them. The oldest are dropped first. Heads count like bodies, since an
 * answer may consist of nothing else.
 */
import type {AttemptAnswer} from '../protocol/attempt.js';
import type {Headers} from '../protocol/service-request.js';

/** Memory of an answer besides its texts and bytes: objects and map entries. */
const ANSWER_COST_BYTES = 1024;

interface HeldAnswer {
  readonly answer: AttemptAnswer;
  readonly bytes: number;
}

/** Answers by the id of their attempt. */
export class HeldAnswers {
  /** Memory of all answers, in bytes. */
  bytes = 0;
  private readonly held = new Map<string, HeldAnswer>();

  constructor(private readonly maxBytes: number) {}

  /** Keeps an answer unless it is streamed or larger than the bound. */
  add(id: string, answer: AttemptAnswer): void {
    if (answer.body.rest) return;
    const bytes = measureAnswer(answer);
    if (bytes > this.maxBytes) return;
    this.held.set(id, {answer, bytes});
    this.bytes += bytes;
    for (const oldest of this.held.keys()) {
      if (this.bytes <= this.maxBytes) return;
      this.remove(oldest);
    }
  }

  find(id: string): AttemptAnswer | undefined {
    return this.held.get(id)?.answer;
  }

  remove(id: string): void {
    this.bytes -= this.held.get(id)?.bytes ?? 0;
    this.held.delete(id);
  }
}

function measureAnswer({headers, body}: AttemptAnswer): number {
  return ANSWER_COST_BYTES + body.held.length + measureHeaders(headers);
}

function measureHeaders(headers: Headers): number {
  let bytes = 0;
  for (const [name, value] of Object.entries(headers)) {
    const values = typeof value === 'string' ? [value] : value;
    for (const one of values) bytes += name.length + one.length;
  }
  return bytes;
}
