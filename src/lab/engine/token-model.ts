/**
 * The stand-in's language model: the next token is a function of all text before it, as with a real
 * model at temperature 0. A stream continued from prompt and delivered text is therefore the same.
 */
import createXxhash from 'xxhash-wasm';

/** Words the model knows. */
const VOCABULARY = [
  'ready', 'flag', 'table', 'menu', 'release', 'audit', 'guest', 'rule', 'seat', 'check',
  'change', 'note', 'time', 'store', 'hold', 'path', 'order', 'party', 'scope', 'review',
  'value', 'policy', 'late', 'early', 'open', 'close', 'north', 'south', 'plan', 'step',
  'line', 'state',
] as const; // prettier-ignore

/** Text state of one sequence. */
export interface TextState {
  /** Appends text and answers nothing. */
  append(text: string | Uint8Array): void;
  /** The next token after all text so far; does not append it. */
  nextToken(): string;
}

/** Creates text states. */
export type TokenModel = () => TextState;

/** Loads the model. */
export async function createTokenModel(): Promise<TokenModel> {
  const { create32 } = await createXxhash();
  return () => {
    const hash = create32();
    return {
      append: (text) => {
        hash.update(text);
      },
      nextToken: () => ` ${VOCABULARY[hash.digest() % VOCABULARY.length] ?? ''}`,
    };
  };
}

/** The whole text a model gives for a prompt; for checks. */
export function expectedText(model: TokenModel, prompt: string, tokens: number): string {
  const state = model();
  state.append(prompt);
  let text = '';
  for (let index = 0; index < tokens; index += 1) {
    const token = state.nextToken();
    state.append(token);
    text += token;
  }
  return text;
}
