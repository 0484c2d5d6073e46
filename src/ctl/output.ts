/**
 * Output of the operators' command: text for people, or one JSON object for
 * programs. Progress goes to standard error, so that results can be piped.
 */

/** Where a command writes. */
export interface Output {
  /** Tells how far a wait has come. */
  reportProgress(text: string): void;
  /** Ends the command with its result. */
  writeResult(text: string, result: Readonly<Record<string, unknown>>): void;
}

/** Writes for people. */
export class TextOutput implements Output {
  private lastProgress = '';

  reportProgress(text: string): void {
    if (text === this.lastProgress) return;
    this.lastProgress = text;
    process.stderr.write(`${text}\n`);
  }

  writeResult(text: string): void {
    process.stdout.write(`${text}\n`);
  }
}

/** Writes one JSON object and no progress. */
export class JsonOutput implements Output {
  reportProgress(): void {}

  writeResult(text: string, result: Readonly<Record<string, unknown>>): void {
    process.stdout.write(`${JSON.stringify({text, ...result})}\n`);
  }
}
