/** Runs one case: keeps the record, ends everything it started, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { Deployment } from './deployment.mjs';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

export class Record {
  #lines = [];
  #startedAt = Date.now();

  /** Adds a line with the seconds since the start. */
  add(text) {
    this.#lines.push(`${((Date.now() - this.#startedAt) / 1_000).toFixed(3).padStart(7)}  ${text}`);
  }

  save(path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * @param title what the case checks
 * @param path of the record
 * @param play plays the case: (deployment, record, isTroubled) => the texts of what broke the rule
 */
export async function runCase(title, path, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const deployment = new Deployment();
  const record = new Record();
  let code = NOT_RUN;
  let isDecided = false;
  const end = async () => {
    await deployment.stop();
    record.save(path);
    process.exit(code);
  };
  // An error outside of the play would end this process with 1, which says that the rule was broken.
  process.on('uncaughtException', (error) => {
    record.add(`an error outside of the play: ${error.stack}`);
    if (!isDecided) {
      void end();
    }
  });
  process.once('SIGTERM', () => void end());
  process.once('SIGINT', () => void end());
  try {
    record.add(title);
    record.add(isTroubled ? 'with the disruption' : 'without the disruption');
    const broken = await play(deployment, record, isTroubled);
    deployment.ends.forEach((text) => record.add(text));
    broken.forEach((text) => record.add(`broken: ${text}`));
    code = broken.length > 0 ? BROKEN : HELD;
    isDecided = true;
    record.add(code === BROKEN ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    code = NOT_RUN;
  }
  process.stdout.write(`exit ${code}\n`);
  await end();
}
