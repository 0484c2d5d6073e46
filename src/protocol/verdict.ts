/**
 * The verdict on a request: whether it may have run on an upstream. Every
 * internal error, answer and refusal carries one, because only the verdict
 * decides whether a retry is safe.
 */

/** What is known about a request having run. */
export const Verdict = {
  /** No upstream has run the request or ever will run this attempt. */
  NOT_RUN: 'not-run',
  /** The request may have run, may be running, or may still run. */
  MAY_HAVE_RUN: 'may-have-run',
  /** An upstream ran the request and its answer is known. */
  RAN: 'ran',
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

const VERDICTS = new Set<string>(Object.values(Verdict));

/** Reads a verdict from a header value; undefined when it is none. */
export function readVerdict(text: string | undefined): Verdict | undefined {
  return text !== undefined && VERDICTS.has(text)
    ? (text as Verdict)
    : undefined;
}
